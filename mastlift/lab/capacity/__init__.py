"""Capacity model: measured costs as linear functions of the fleet's size, and the load that measures them."""
