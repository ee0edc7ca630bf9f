// Package answers makes the answers of stand-in engines: they depend on the prompt alone, so that any two runs of a prompt give the
// same answer and a checker can tell a wrong one.
package answers

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// tokenVocabulary is the number of different tokens in the answers of stand-in engines.
const vocabularySize = 1 << 12

// The syllables from which the tokens of answers are made.
const (
	tokenConsonants = "bdfgklmnprstvwyz"
	tokenVowels     = "aeio"
)

// firstTokens and laterTokens hold the vocabulary; a later token has the space before it.
var firstTokens, laterTokens = buildVocabulary()

func buildVocabulary() (first, later [vocabularySize]string) {
	consonants, vowels := uint(len(tokenConsonants)), uint(len(tokenVowels))
	for i := range first {
		rest := uint(i)
		word := make([]byte, 0, 4)
		for range 2 {
			word = append(word, tokenConsonants[rest%consonants])
			rest /= consonants
			word = append(word, tokenVowels[rest%vowels])
			rest /= vowels
		}
		first[i] = string(word)
		later[i] = " " + string(word)
	}
	return first, later
}

// AnswerToken returns the token at an index of the answer that stand-in engines give to a prompt. It depends on
// nothing else, so that any two runs of a prompt give the same answer and a checker can tell a wrong one. The text of
// an answer is its tokens joined without a separator.
func Token(promptDigest uint64, index int) string {
	var key [12]byte
	binary.LittleEndian.PutUint64(key[:8], promptDigest)
	binary.LittleEndian.PutUint32(key[8:], uint32(index))
	word := xxhash.Sum64(key[:]) % vocabularySize
	if index == 0 {
		return firstTokens[word]
	}
	return laterTokens[word]
}

// AnswerTokens returns the tokens of an answer from one index up to another, which is not included.
func Tokens(promptDigest uint64, from, to int) []string {
	if to <= from {
		return nil
	}
	tokens := make([]string, 0, to-from)
	for index := from; index < to; index++ {
		tokens = append(tokens, Token(promptDigest, index))
	}
	return tokens
}

// PromptDigest returns the hash of all that an answer depends on.
func PromptDigest(model, prompt string) uint64 {
	digest := xxhash.New()
	writeWithSeparator(digest, model)
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

// CountTokens returns the length of a prompt in tokens: one for each word between white space.
func CountTokens(prompt string) int {
	count := 0
	for range strings.FieldsSeq(prompt) {
		count++
	}
	return count
}

// writeSeparated writes a part and a byte that no UTF-8 text contains.
func writeWithSeparator(digest *xxhash.Digest, part string) {
	_, _ = digest.WriteString(part)
	_, _ = digest.Write([]byte{0xff})
}
