"""Quotas of client accounts, which hold over all hosts without a central counter."""
