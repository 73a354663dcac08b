Feature: An instance tells whether it is cut off from endpoints that its peers reach

  Background:
    Given links to the endpoints "e1, e2, e3, e4, e5"

  Scenario Outline: A cut is noticed and its end as well
    Given peers reach "e1, e2, e3, e4, e5"
    When connections to "e1, e2, e3, e4, e5" <fail>, and requests <come> for 2500 ms
    Then the instance is cut off
    When connections to "e1, e2, e3, e4, e5" are opened again for 1500 ms
    Then the instance is not cut off

    Examples:
      | fail        | come          |
      | hang        | come          |
      | hang        | do not come   |
      | are refused | come          |
      | are refused | do not come   |

  Scenario: Open connections that live on hide no cut
    Given peers reach "e1, e2, e3, e4, e5"
    When connections to "e1, e2, e3, e4, e5" are refused, and requests are answered on open ones for 2500 ms
    Then the instance is cut off

  Scenario Outline: What is no cut
    Given peers reach "<peers>"
    When connections to "<failing>" <fail>, and requests <come> for 6000 ms
    Then the instance is not cut off

    Examples:
      | peers              | failing            | fail        | come        |
      | e1, e2, e3, e4, e5 | e1                 | hang        | come        |
      | e1, e2, e3, e4, e5 | e1                 | are refused | come        |
      | e3, e4, e5         | e1, e2             | are refused | come        |
      |                    | e1, e2, e3, e4, e5 | are refused | come        |
      | e1                 | e1, e2, e3, e4, e5 | hang        | come        |
      |                    | e1, e2, e3, e4, e5 | hang        | do not come |

  # Guards against a cut that is not seen as the peers' own calls go to few endpoints or none.
  Scenario Outline: A cut is seen where peers reach endpoints that they are asked for
    Given peers have no calls, and reach "<asked>" if they are asked
    When connections to "e1, e2, e3, e4, e5" <fail>, and requests come for 2500 ms
    Then the instance is <cut>

    Examples:
      | asked              | fail        | cut         |
      | e1, e2, e3, e4, e5 | hang        | cut off     |
      | e1, e2, e3, e4, e5 | are refused | cut off     |
      | e1, e3             | hang        | cut off     |
      | e1                 | hang        | not cut off |
      |                    | hang        | not cut off |

  # Guards against a cut that its own questions confirm, as only what peers were asked for is tried again.
  Scenario Outline: An instance that reaches some endpoints comes back to them
    Given the endpoints are "e1, e2, e3, e4, e5, e6, e7, e8, e9, e10, e11, e12"
    And draws of seed <seed>
    And peers have no calls, and reach "e1, e2, e3, e4, e5, e6, e7, e8, e9, e10, e11, e12" if they are asked
    When connections to "e1, e2, e3, e4, e5, e6, e7, e8" are refused, and requests are answered on open ones for 20000 ms
    Then no cut lasts longer than 3000 ms

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |

  Scenario Outline: An endpoint that a peer asks for is tried again after a while, by few of many instances
    When a peer, one of <peers>, asks for "<asked>"
    Then the instance has tried "<tried>", and its digest tells of "<tried>"
    When a peer asks for "<asked>" 400 ms later
    Then the instance has tried "", and its digest tells of "<tried>"
    When a peer asks for "<asked>" 200 ms later
    Then the instance has tried "<tried>", and its digest tells of "<tried>"

    Examples:
      | peers | asked  | tried  |
      | 1     | e1, e2 | e1, e2 |
      | 7     | e1, e9 | e1     |
      | 8     | e1, e2 |        |

  # Guards against crash evidence as a new connection hides that an older one is answered.
  Scenario: A question leaves the answer of an older connection as it is
    When a connection of 5000 ms to "e1" is answered, and a peer asks for "e1"
    Then the instance has tried "", and its digest tells of "e1" on a connection of 5000 ms

  Scenario: A new connection of one peer does not hide the answer that another one has
    Given peers reach "e1, e2, e3, e4, e5"
    When connections to "e1" are refused, and requests come for 700 ms
    Then the end of "e1" is not confirmed 700 ms later, as another peer opens connections to it all the time

  # Guards against a cut that lasts as only what peers reached last is tried.
  Scenario: An instance for which one endpoint comes back that peers do not use reaches it
    Given draws of seed 1
    And peers reach "e1, e2, e3, e4"
    When connections to "e1, e2, e3, e4, e5" are refused, and requests do not come for 6000 ms
    Then the instance is cut off
    When connections to "e5" are opened again for 4000 ms
    Then the instance has come back to an endpoint

  Scenario: An instance that reaches no endpoint itself answers no questions
    When connections to "e1, e2, e3, e4, e5" are refused, and requests come for 500 ms
    Then nothing is tried for a peer that asks for "e4"

  Scenario: An instance that was frozen is not cut off
    Given peers reach "e1, e2, e3, e4, e5"
    When the process does not run for 5000 ms and its connections are as before
    Then the instance is not cut off

  Scenario Outline: A refused connection is the endpoint's end unless a peer reaches it since
    Given peers reach "<peers>"
    When connections to "e1" are refused, and requests come for 700 ms
    Then the end of "e1" is <confirmed> 700 ms later

    Examples:
      | peers              | confirmed     |
      | e2, e3, e4, e5     | confirmed     |
      | e1, e2, e3, e4, e5 | not confirmed |

  # Guards against crash evidence from contacts of peers that wait to be read.
  Scenario: An instance that did not get on waits for what its peers tell
    Given peers reach "e1, e2, e3, e4, e5"
    When connections to "e1" are refused, and requests come for 700 ms
    Then the end of "e1" is not confirmed 700 ms later, of which the process does not run for 2000 ms

  Scenario: A process that is back at the address of an ended one hides no end
    Given peers reach "e1, e2, e3, e4, e5"
    When connections to "e1" are refused, and requests come for 700 ms
    Then the end of "e1" is confirmed 700 ms later, as peers reach a new process

  Scenario: Contacts in digests are few and recent
    When 20 other processes answer
    Then a digest reports 0 contacts
    When 2000 endpoints answer
    Then a digest reports 8 contacts
    And none 2500 ms later
