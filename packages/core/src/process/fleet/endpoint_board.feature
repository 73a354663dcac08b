Feature: The board sums the load of all instances and avoids failing endpoints

  Background:
    Given an empty board

  Scenario: Own work and reports of others add up, and old reports end
    When a call with 500 tokens opens at "e1"
    And instance "b" reports 2 calls and 300 tokens at "e1"
    Then the load of "e1" is 3 calls and 800 tokens
    When 3100 ms pass for the board
    Then the load of "e1" is 1 calls and 500 tokens
    When the call has its prompt computed
    Then the load of "e1" is 1 calls and 0 tokens
    When the call ends as "answered"
    Then the load of "e1" is 0 calls and 0 tokens

  Scenario Outline: A sure sign suspends at once, a doubtful one at the second time
    When calls at "e1" end as "<ends>"
    Then "e1" is suspended: <suspended>

    Examples:
      | ends                   | suspended |
      | down                   | yes       |
      | late                   | yes       |
      | failed                 | no        |
      | failed, failed         | yes       |
      | failed, answered       | no        |
      | broken                 | yes       |
      | broken, answered       | no        |
      | full, full, full       | no        |
      | withdrawn, withdrawn   | no        |
      | down, answered         | no        |

  Scenario: A suspension ends, and returns for longer
    When calls at "e1" end as "down"
    And 800 ms pass for the board
    Then "e1" is suspended: no
    When calls at "e1" end as "down"
    And 800 ms pass for the board
    Then "e1" is suspended: yes

  Scenario: What an instance found down is avoided by the others
    When instance "b" found "e1" down for 900 ms
    Then "e1" is suspended: yes
    When 1000 ms pass for the board
    Then "e1" is suspended: no
    And this instance tells the others that "" is down

  Scenario: Only own findings are passed on
    When instance "b" found "e1" down for 900 ms
    And calls at "e2" end as "down"
    Then this instance tells the others that "e2" is down

  Scenario: Parts count as held from the moment a prompt in time is sent
    When a call with 500 tokens opens at "e1"
    Then "e1" holds 500 tokens of the prompt
    And "e1" holds 0 tokens that can be copied
    When 1500 ms pass for the board
    Then "e1" holds 500 tokens that can be copied

  Scenario: Parts of a late prompt count only once they are computed
    When a late call with 500 tokens opens at "e1"
    Then "e1" holds 0 tokens of the prompt
    When the call has its prompt computed
    Then "e1" holds 500 tokens of the prompt

  Scenario: Parts are forgotten with the process that held them, and in time
    When a call with 500 tokens opens at "e1"
    And the call ends as "answered"
    And the process of "e1" ends
    Then "e1" holds 0 tokens of the prompt
    When a call with 500 tokens opens at "e1"
    And 16000 ms pass for the board
    Then "e1" holds 0 tokens of the prompt

  Scenario: The others learn which shared parts were sent where
    When a call with 500 tokens opens at "e1"
    Then this instance tells the others of the parts "shared" at "e1"
    When 3000 ms pass for the board
    Then this instance tells the others of the parts "" at "e1"

  Scenario: Parts can be copied once they are computed, and the others learn it
    When a call with 500 tokens opens at "e1"
    Then "e1" holds 0 tokens that can be copied
    When the call has its prompt computed
    Then "e1" holds 500 tokens that can be copied
    And this instance tells the others that "e1" has computed "shared"
    When instance "b" tells that "e2" has computed the prompt
    Then "e2" holds 500 tokens that can be copied
