"""Long runs of real processes under troubles that overlap."""
