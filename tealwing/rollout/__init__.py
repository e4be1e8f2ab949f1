"""How a version of the rules takes hold on every gateway or on none."""
