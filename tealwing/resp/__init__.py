"""The engines' side: RESP messages, connections to one engine, and all engines by number."""
