"""What a controller measures of itself."""
