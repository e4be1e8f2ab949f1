"""How a change of rules takes hold everywhere or nowhere; read plan, view, retry, member, conductor, witnesses, gate, steering, shell."""
