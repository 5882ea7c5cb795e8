"""The seam for features: what a package beside the core may hook into, and how a process switches it on."""
