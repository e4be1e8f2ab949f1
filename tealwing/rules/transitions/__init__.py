"""Apply commands to the registry's tables; pure. Read proposing, closing, concluding, then membership."""
