"""The platform's file, the operators' policy, and the expression language with its checker."""
