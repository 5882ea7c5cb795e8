"""Load tests: thousands of hollow workers and generated users against real controllers."""
