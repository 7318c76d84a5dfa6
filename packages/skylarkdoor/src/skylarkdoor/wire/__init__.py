"""Messages between skylarkdoor processes and the code generated for them."""
