Feature: Engines are brought to the planned share of roles

  Scenario Outline: The share decides how many engines compute prompts only
    Given a pool with <prefill> prefill and <decode> decode engines
    Then with a share of <share> the plan is "<plan>"

    Examples:
      | prefill | decode | share | plan             |
      | 3       | 5      | 0.62  | d1 to prefill, d2 to prefill |
      | 5       | 3      | 0.62  |                  |
      | 6       | 2      | 0.62  | p1 to decode     |
      | 2       | 0      | 1     | p1 to decode     |
      | 0       | 2      | 0     | d1 to prefill    |
      | 1       | 0      | 0.62  |                  |
      | 4       | 2      | 0.9   |                  |
      | 5       | 1      | 0.75  | p1 to decode     |
      | 2       | 1      | 0.9   |                  |

  Scenario: Engines that limit their requests count for nothing
    Given a pool with 6 prefill and 2 decode engines
    And "d1, d2" limit their requests
    Then with a share of 0.75 the plan is "p1 to decode, p2 to decode"

  Scenario Outline: Engines of each software version are planned by themselves
    Given a pool with <prefill> prefill and <decode> decode engines
    And the software version of "<engines>" is another one
    Then with a share of 0.75 the plan is "<plan>"

    Examples:
      | prefill | decode | engines        | plan                         |
      | 6       | 2      | p1, p2, p3     | p1 to decode   |
      | 6       | 2      | p1             | p1 to decode   |
      | 4       | 4      | d1             | d2 to prefill                |
      | 2       | 2      | p1, d1         |                              |

  Scenario: The first instance orders once the wish has held for two checks
    Given a pool with 3 prefill and 5 decode engines
    And an instance that keeps a share of 0.62
    When 1100 ms pass for the roles
    Then the orders are ""
    When 1000 ms pass for the roles
    Then the orders are "d1 prefill 1, d2 prefill 1"
    When 5000 ms pass for the roles
    Then the orders are "d1 prefill 1, d2 prefill 1"

  Scenario: Ordered engines take no work until the list shows their role
    Given a pool with 3 prefill and 5 decode engines
    And an instance that keeps a share of 0.62
    When 2100 ms pass for the roles
    Then the engines that change are "d1, d2"
    When the list shows the ordered roles
    And 1000 ms pass for the roles
    Then the engines that change are ""

  Scenario: An instance that is not the first orders nothing
    Given a pool with 3 prefill and 5 decode engines
    And an instance that keeps a share of 0.62
    And another instance comes first
    When 10000 ms pass for the roles
    Then the orders are ""

  Scenario: Nothing is ordered by a stale list
    Given a pool with 3 prefill and 5 decode engines
    And an instance that keeps a share of 0.62
    And the list is stale
    When 10000 ms pass for the roles
    Then the orders are ""

  Scenario: An order without an answer is not sent again while it may be carried out
    Given a pool with 4 prefill and 4 decode engines
    And an instance that keeps a share of 0.62
    And engines leave orders unanswered
    When 7000 ms pass for the roles
    Then the orders are "d1 prefill 1"

  Scenario: An engine that is in a change already gets no order
    Given a pool with 4 prefill and 4 decode engines
    And an instance that keeps a share of 0.62
    And engines report that they change
    When 3000 ms pass for the roles
    Then the orders are ""

  Scenario: An engine that reports that it leaves gets no order and no work
    Given a pool with 4 prefill and 4 decode engines
    And an instance that keeps a share of 0.62
    And engines report that they leave
    When 2100 ms pass for the roles
    Then the orders are ""
    And the engine "d1" takes no work

  Scenario: Nothing is ordered without the duty
    Given a pool with 4 prefill and 4 decode engines
    And an instance that keeps a share of 0.62
    And the duty cannot be claimed
    When 10000 ms pass for the roles
    Then the orders are ""

  Scenario Outline: An order is not given once <what> before it can be written
    Given a pool with 4 prefill and 4 decode engines
    And an instance that keeps a share of 0.62
    And connections to engines take 500 ms, in which <what>
    When 3000 ms pass for the roles
    Then the orders are ""
    And the engines that change are ""

    Examples:
      | what                  |
      | the term has ended    |
      | the engine leaves     |
      | the list is outdated  |
