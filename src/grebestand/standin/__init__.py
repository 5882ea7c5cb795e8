"""Stand-ins of what the service needs around it: state service, cloud, workers and the network, by their protocols."""
