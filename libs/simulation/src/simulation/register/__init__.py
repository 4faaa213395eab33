"""The operators' register: real node cores in virtual time, operators that lose answers,
and a judge of the histories they leave."""
