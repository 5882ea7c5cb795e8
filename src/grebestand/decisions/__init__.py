"""What runs where. Pure apart from the books: the clock comes in, decisions go into the books through the dispatch."""
