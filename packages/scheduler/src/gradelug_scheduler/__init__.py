"""The daemon that owns engines, loads adapters and hands out grants."""
