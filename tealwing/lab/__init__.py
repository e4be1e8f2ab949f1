"""The laboratory: modelled engines, arrivals and clients round real decision modules, in virtual time."""
