"""What a controller knows of its own links, and how it is served over one other controller where a link is cut."""
