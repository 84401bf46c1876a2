"""Service-level burn, gathered from the routers."""
