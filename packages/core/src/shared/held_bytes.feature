Feature: A process holds a bounded number of bytes of answers

  Scenario: Long answers share the bound, and short ones are taken beside them
    Given a bound of 1000000 bytes
    Then these answers are taken, in turn
      | bytes  | taken |
      | 900000 | yes   |
      | 300000 | no    |
      | 60000  | yes   |
    When the first of them is released
    Then these answers are taken, in turn
      | bytes  | taken |
      | 900000 | yes   |
