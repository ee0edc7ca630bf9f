// Package answers generates the deterministic answers of simulated engines. An answer depends only on the model and the prompt,
// so checkers can compute the expected text.
package answers

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabularySize is the number of distinct tokens.
const vocabularySize = 1 << 12

// Letters of the generated tokens, each of which is two consonant-vowel pairs.
const (
	tokenConsonants = "bdfgklmnprstvwyz"
	tokenVowels     = "aeio"
)

// firstTokens and laterTokens hold the vocabulary; later tokens start with a space.
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

// Token returns the token at an index of the answer to a prompt. The text of an answer is the concatenation of its tokens.
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

// Tokens returns the tokens of an answer in the index range [from, to).
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

// PromptDigest returns the hash of a model and a prompt that determines the answer.
func PromptDigest(model, prompt string) uint64 {
	digest := xxhash.New()
	writeWithSeparator(digest, model)
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

// CountTokens returns the length of a prompt in tokens, one for each whitespace-separated word.
func CountTokens(prompt string) int {
	count := 0
	for range strings.FieldsSeq(prompt) {
		count++
	}
	return count
}

// writeWithSeparator writes a part followed by a byte that does not occur in UTF-8 text.
func writeWithSeparator(digest *xxhash.Digest, part string) {
	_, _ = digest.WriteString(part)
	_, _ = digest.Write([]byte{0xff})
}
