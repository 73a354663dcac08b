Feature: The library's page

  Scenario: Every example of the page type-checks and runs
    Given the examples of docs/LIBRARY.md in a directory of their own
    Then each example type-checks
    And each example runs to its end
