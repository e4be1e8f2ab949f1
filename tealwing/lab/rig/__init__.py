"""Trials of real processes; read history, process, trial, samples, ledger, acts, director, loads, runs, report."""
