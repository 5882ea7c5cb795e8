"""Messages at the edge.

The protocol's field names live in this package only; everywhere else the field's standard terms are used
(job, task, machine, zone, gang, token, attempt, session).
"""
