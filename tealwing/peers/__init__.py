"""The link between gateways: members by the operators' file, framed messages over TCP, and who is heard."""
