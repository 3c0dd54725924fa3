"""Benches of control: config, domain, cold, drain, outage, control."""

BENCHES = {}
