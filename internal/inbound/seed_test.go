package inbound

import _ "github.com/plankridge/plankridge/internal/standin/fixedseed"
