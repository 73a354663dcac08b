Feature: The reference page of the daemon's settings

  Scenario: The page is the schema's own
    Then docs/SETTINGS.md is written from the daemon's schema
