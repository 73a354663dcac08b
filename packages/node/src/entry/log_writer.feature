Feature: Log lines never block the process and are bounded

  Scenario: Lines reach a reader in order
    When 20 lines are written to a pipe that is read
    Then the reader gets 20 lines in order

  Scenario: A reader that does not read costs lines, not time
    When 20000 lines are written to a pipe that nobody reads
    Then writing took less than 1000 ms
    And some lines were dropped and counted
