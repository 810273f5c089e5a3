"""Preparation, comparison and sending of change sets by an operator."""
