"""Federation with overflow: a gang that cannot start whole at home is offered, whole, to another cluster.

`home` decides and follows its gangs abroad, `guest` reserves room and runs them; what one tells the other is in
`messages`, the named states of both in `states`. The argument is in docs/federation.md.
"""
