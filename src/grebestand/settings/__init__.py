"""The platform's settings, the operators' policy, and the expression language of policies with its checker."""
