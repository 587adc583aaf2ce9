"""Measurements. They print figures and assert nothing."""
