"""Stand-ins of the third review: platform store, workers, machines, clients."""
