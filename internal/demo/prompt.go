package demo

import (
	"hash/fnv"
	"math/rand/v2"
	"strings"
)

// vocabulary holds the words of generated prompts. Their meaning is irrelevant: the simulated engines only count and hash them.
var vocabulary = strings.Fields(`arrival balance batch blend bloom body cargo carton cellar crate cup customer delivery dock
dose extraction family farm filter grade grind harvest invoice label load lot manifest moisture month note office order
origin pallet pickup pound price rack rate receipt refund roast route sack sample scale seal season shelf shipment sort
station stock street subscription tare taste temperature ticket truck variety washed weight week yield`)

// randomWords returns a text with a number of random words.
func randomWords(count int, random *rand.Rand) string {
	var text strings.Builder
	for index := range count {
		if index > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(vocabulary[random.IntN(len(vocabulary))])
	}
	return text.String()
}

// randomPrompt returns a prompt: a prefix shared by all requests of the tenant and class, followed by random words.
func randomPrompt(class requestClass, tenant string, random *rand.Rand) string {
	length := max(1, randomLength(class.promptTokens, random))
	if class.sharedTokens == 0 || length <= class.sharedTokens {
		return randomWords(length, random)
	}
	return tenantPrefix(class, tenant) + " " + randomWords(length-class.sharedTokens, random)
}

// tenantPrefix returns the shared prefix of a tenant's prompts in a class.
func tenantPrefix(class requestClass, tenant string) string {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(class.name + "/" + tenant))
	return randomWords(class.sharedTokens, rand.New(rand.NewPCG(digest.Sum64(), 0)))
}
