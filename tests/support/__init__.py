"""What several test modules and the test run itself share."""
