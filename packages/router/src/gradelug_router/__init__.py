"""The callers' door: authenticates, routes and streams."""
