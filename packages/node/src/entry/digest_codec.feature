Feature: Digests are small on the wire and survive damage

  Scenario: Digests come back as they were sent
    Given 20 digests of busy instances
    Then they are the same after encoding and decoding

  Scenario: A datagram takes less than half of its digests' JSON
    Given 1 digests of busy instances
    Then their datagram has at most 50 % of the bytes of their JSON
    Given 20 digests of busy instances
    Then their datagram has at most 35 % of the bytes of their JSON

  Scenario Outline: Within a failure domain only digests that do not fit a frame are compressed
    Given <count> digests of busy instances
    Then their datagram for the own failure domain is <kind>
    And they are the same after encoding for the own failure domain and decoding

    Examples:
      | count | kind       |
      | 1     | plain      |
      | 20    | compressed |

  Scenario: Plain JSON of an instance of another version is accepted
    Given 2 digests of busy instances
    Then they are the same after decoding their plain JSON

  Scenario: Damaged datagrams are recognized
    Given 2 digests of busy instances
    Then no damaged copy of their datagram makes decoding fail with an error

  Scenario: A datagram that expands without bound is refused
    Then a datagram of 32 MB of spaces is malformed
