"""Load test of one cluster: thousands of hollow workers and generated users against real controller processes."""
