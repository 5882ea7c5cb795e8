"""What stands in the state service: the records' forms, their keys, and the pages that small ones share."""
