"""The books: jobs, tasks, machines, and every place where a task may be. No input or output, and no decisions."""
