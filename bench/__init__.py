"""Measurements: timing as ratios in one run, figures from runs only."""
