"""Constants of the SplitMix64 finalizer and the number of 64-bit values."""

HASH_SPAN = float(2**64)
MASK = 2**64 - 1
MIX_1 = 0xBF58476D1CE4E5B9
MIX_2 = 0x94D049BB133111EB
