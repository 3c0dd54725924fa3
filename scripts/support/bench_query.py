"""Benches of the query path: straggler, friday, silent, orders, node."""

BENCHES = {}
