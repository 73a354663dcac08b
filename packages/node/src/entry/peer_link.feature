Feature: Digests reach every instance and cross to another failure domain once

  Background:
    Given instances "a1 sapporo, a2 sapporo, b1 hakodate, b2 hakodate, b3 hakodate" that know each other

  Scenario: One instance of another failure domain passes a digest on
    When every instance has heard the others
    And "a1" tells of its work
    Then every other instance hears it within 500 ms
    And of the digests of "a1" each goes to "a2" and one of "b1, b2, b3", in turn

  Scenario: In a large domain one instance gathers for the others
    Given instances of a large domain "sapporo" with 12 instances and of "hakodate" with 2
    Then a digest of "s01" goes directly to "" and through one of "s02, s03, s04" and one of "h01, h02"

  Scenario: An instance that is not heard is told directly
    When "a1" tells of its work
    Then every other instance hears it within 500 ms

  Scenario: A digest that was overtaken is dropped
    When "a1" hears digests 2, 1 and 3 of "b1"
    Then it takes the digests 2 and 3

  Scenario: After a start the count begins anew
    When "a1" hears digest 7 of "b1" and digest 1 of its next start
    Then it takes the digests 7 and 1

  Scenario: Changes of the list go at once to the own failure domain only
    When every instance has heard the others
    And "a1" has read changes of the list
    Then "a2" hears of the changes within 500 ms
    And no instance of another failure domain hears of them

  Scenario: What is told once is not told to the own failure domain alone
    When every instance has heard the others
    And "a1" has measured a prompt
    And "a1" has read changes of the list
    And "a1" tells of its work
    Then all other instances hear of the prompt within 500 ms

  Scenario: A closed link sends nothing more, and fails nothing
    When every instance has heard the others
    And the link of "a1" is closed
    Then "a1" tells of changes and of prompts, and nothing fails

  Scenario Outline: Prompts are counted as they are placed where all of a large domain tell them
    When <instances> instances are heard, of which <former> are of a former version
    Then what they place is <counted>

    Examples:
      | instances | former | counted     |
      | 12        | 0      | counted     |
      | 12        | 1      | not counted |
      | 3         | 0      | not counted |
