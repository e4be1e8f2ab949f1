"""The operators' own file: its grammar, values and units, sections, and the errors that name what is wrong."""
