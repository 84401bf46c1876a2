"""Scenarios, baselines and measures for the policy."""
