"""The laboratory: modelled engines, arrivals and clients around real decision modules, mostly in virtual time."""
