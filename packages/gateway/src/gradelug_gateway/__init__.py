"""The daemon of an entry instance: requests in, placed on replicas, answers out."""
