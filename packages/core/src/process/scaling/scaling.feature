Feature: The number of endpoints follows the load, and their kind the price

  Scenario Outline: Engines are used as far as prompts are expected to be computed within the goal
    Given a service whose engines compute 60 tokens a ms and 0.75 of them compute prompts
    And the goal is <goal> ms
    When <missing> prompt tokens a ms are missing in prompts of <prompt> tokens for <seconds> s and <open> calls are open
    Then <wanted> engines are wanted

    Examples:
      | missing | prompt | goal | seconds | open | wanted |
      | 600     | 14000  | 500  | 6       | 20   | 20     |
      | 600     | 15000  | 300  | 6       | 20   | 27     |
      | 600     | 30000  | 400  | 6       | 20   | 27     |
      | 600     | 1000   | 500  | 6       | 20   | 17     |
      | 60      | 15000  | 500  | 6       | 400  | 67     |

  Scenario: A queue at that use leaves the mean prompt within the goal
    Then for any prompt and goal, the mean wait at the chosen use and the prompt itself take the goal at most

  Scenario: Without calls there is no load, and too few counters tell nothing
    Given a service whose engines compute 60 tokens a ms and 0.75 of them compute prompts
    And the goal is 500 ms
    When 0 prompt tokens a ms are missing in prompts of 1000 tokens for 6 s and 0 calls are open
    Then there is no load
    When 600 prompt tokens a ms are missing in prompts of 1000 tokens for 1 s and 20 calls are open
    Then no need is known

  Scenario: For any number, the loss of one domain's reclaimable endpoints leaves enough, at the lowest price
    Then for any need and price the plan leaves what is needed without any one domain's reclaimable endpoints
    And it costs no more than endpoints that stay

  Scenario Outline: Kinds are spread over the domains
    When <needed> endpoints are needed, with at most <most> in each of 4 domains and <dry> of them dry
    Then the plan is "<plan>"

    Examples:
      | needed | most | dry | plan                       |
      | 40     | 49   | 0   | 1+12, 1+12, 1+12, 1+12     |
      | 41     | 49   | 0   | 1+13, 1+13, 1+12, 1+12     |
      | 40     | 49   | 1   | 1+0, 1+18, 1+18, 1+18      |
      | 40     | 49   | 3   | 10+0, 10+0, 10+0, 10+0     |
      | 400    | 12   | 0   | 1+11, 1+11, 1+11, 1+11     |

  Scenario: A domain keeps its fewest, and no cheaper kind is used where there is none
    When 3 endpoints are wanted in 4 domains that need 2 each and offer no reclaimable ones
    Then the plan is "2+0, 2+0, 2+0, 2+0"

  Scenario: Before a load was seen, the number stays and its kind becomes the cheaper one
    Given a fleet of 24 endpoints in each of 4 domains
    When no load comes for 20 s
    Then the fleet never had fewer than 96 endpoints
    And at the end it has at most 96 endpoints, of which at most 4 are not reclaimable

  Scenario Outline: A holder that is lost halfway is followed by one that goes on from its plan
    Given a fleet of 24 endpoints in each of 4 domains
    When no load comes for 6 s
    And <next> takes over the claim
    And no load comes for 30 s
    Then the fleet never had fewer than 96 endpoints
    And at the end it has at most 96 endpoints, of which at most 4 are not reclaimable

    Examples:
      | next                                      |
      | another instance                          |
      | another instance, which reports usage first, |
      | the same instance after a new start       |

  Scenario: Under load, kinds are exchanged and the number falls in small steps
    Given a fleet of 24 endpoints in each of 4 domains
    When a load that needs 40 comes for 150 s
    Then the fleet never had fewer than the load needed
    And no more than 10 endpoints left at a time
    And at the end it costs at most half of 40 that stay
    And the loss of any one domain's reclaimable endpoints leaves at least 40

  Scenario: A load that swings every few seconds is not chased
    Given a fleet of 24 endpoints in each of 4 domains
    When a load that needs between 25 and 40 by turns of 6 s comes for 180 s
    Then after 150 s no order for more or fewer is made
    And the fleet never had fewer than the load needed

  Scenario: A burst is answered at once
    Given a fleet of 24 endpoints in each of 4 domains
    When a load that needs 20 comes for 150 s
    And a load that needs 60 comes for 12 s
    Then within 8 s the fleet has at least 60 endpoints

  Scenario: Reclaimed endpoints are replaced elsewhere while their domain has none
    Given a fleet of 24 endpoints in each of 4 domains
    When a load that needs 40 comes for 150 s
    And one domain's reclaimable endpoints are reclaimed and it stays dry
    And a load that needs 40 comes for 15 s
    Then at least 40 endpoints were there all the time
    And the loss of any one domain's reclaimable endpoints leaves at least 40

  Scenario: Where no domain has reclaimable endpoints any more, others come
    Given a fleet of 24 endpoints in each of 4 domains
    When a load that needs 40 comes for 150 s
    And all domains' reclaimable endpoints are reclaimed one after the other and stay dry, while a load that needs 40 comes
    And a load that needs 40 comes for 10 s
    Then the fleet has at least 40 endpoints

  Scenario: While no domain gives more reclaimable endpoints, those that are left are used on
    Given a fleet of 24 endpoints in each of 4 domains
    When no load comes for 20 s
    And a load that needs 40 comes for 10 s
    And all domains turn dry and one domain's reclaimable endpoints are reclaimed
    And a load that needs 40 comes for 10 s
    Then at most 4 endpoints are not reclaimable

  Scenario: Domains that stay dry are asked again without a larger fleet each time
    Given a fleet of 24 endpoints in each of 4 domains
    When a load that needs 40 comes for 150 s
    And all domains' reclaimable endpoints are reclaimed one after the other and stay dry, while a load that needs 40 comes
    And a load that needs 40 comes for 60 s
    Then at the end it has at most 47 endpoints, of which at most 47 are not reclaimable

  Scenario: Where some domains are dry before a load was seen, the number stays
    Given a fleet of 24 endpoints in each of 4 domains
    And domains "c d" are dry
    When no load comes for 60 s
    Then the fleet never had fewer than 96 endpoints

  Scenario: An order for fewer that got lost leaves no room to the other kind
    Given a fleet of 24 endpoints in each of 4 domains
    And at most 24 endpoints in a domain
    When a load that needs 40 comes for 10 s
    And orders for fewer get lost while a load that needs 40 comes for 60 s
    Then no order took a domain above its limit

  Scenario: A service that no route names is planned by its slots
    Given a service whose engines compute 60 tokens a ms and 0.75 of them compute prompts
    When 600 prompt tokens a ms are missing in prompts of 1000 tokens for 6 s and 20 calls are open
    Then 17 engines are wanted

  Scenario: Orders that get lost are sent again, and an instance without a claim orders nothing
    Given a fleet of 24 endpoints in each of 4 domains
    When the next 3 orders are lost
    And a load that needs 40 comes for 150 s
    Then at the end it costs at most half of 40 that stay
    When another instance holds the claim
    And a load that needs 90 comes for 10 s
    Then no order was made meanwhile
    And the operator does not count as unreachable

  Scenario: Endpoints of one kind come only where those of the other leave room
    Given a fleet of 12 endpoints in each of 4 domains
    And at most 12 endpoints in a domain
    When a load that needs 30 comes for 150 s
    Then no order took a domain above its limit
    And at the end it costs at most half of 40 that stay

  Scenario: Nothing is ordered by a part of the counters
    Given a fleet of 24 endpoints in each of 4 domains
    When the counters of some instances are missing
    And a load that needs 90 comes for 20 s
    Then no order was made meanwhile

  Scenario: A service that has lost all endpoints gets new ones
    Given a fleet of 24 endpoints in each of 4 domains
    When a load that needs 20 comes for 10 s
    And all endpoints are lost
    And a load that needs 20 comes for 10 s
    Then the fleet has at least 20 endpoints
