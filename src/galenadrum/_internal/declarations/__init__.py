"""Checks that declarations must pass, on files and on accepted state alike."""
