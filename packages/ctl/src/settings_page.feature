Feature: The reference page of the operators' settings

  Scenario: The page is the schema's own
    Then docs/OPERATOR_SETTINGS.md is written from the command line's schema
