"""Admit requests, or hold them while a version is changed. Read gate, then gate_control."""
