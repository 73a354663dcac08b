Feature: Calls find their route by host and longest path prefix

  Background:
    Given routes "/a/" to "short" and "/a/b/" to "long" on host "One.Example"

  Scenario Outline: The longest prefix of the path wins
    Then host "<host>" and path "<path>" find route "<route>"

    Examples:
      | host             | path   | route |
      | one.example      | /a/x   | short |
      | one.example      | /a/b/x | long  |
      | ONE.example:8080 | /a/b/  | long  |
      | one.example      | /a     |       |
      | two.example      | /a/x   |       |

  Scenario: A split route sends each service its share
    Then of 1000 evenly spread draws over weights 90 and 10 the first service takes 900
