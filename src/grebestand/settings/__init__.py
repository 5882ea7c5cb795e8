"""The platform's settings, the operators' policy, and the expression language used in policies."""
