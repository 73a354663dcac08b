Feature: Prompts stay in their failure domain while they are expected there in time

  # The load: a domain that has lost most of its engines while others are idle.
  Scenario Outline: Where the own domain's engines are busy, others are used
    Given 2 engines in the own failure domain and 8 elsewhere that compute prompts
    And the own ones are busy for <own> ms and those elsewhere for <far> ms by digests
    When a prompt of 1000 tokens with a goal of <goal> ms is placed
    Then its engine is in <domain> failure domain

    Examples:
      | own  | far  | goal | domain  |
      | 0    | 0    | 600  | the own |
      | 150  | 0    | 600  | the own |
      | 400  | 0    | 600  | another |
      | 1000 | 0    | 1500 | another |
      | 400  | 900  | 600  | the own |
